/** Calls back in the present turn of the event loop, once all events that were polled are handled. */
export type AfterPoll = (callback: () => void) => void;

export const afterPoll: AfterPoll = (callback) => {
  setImmediate(callback);
};
