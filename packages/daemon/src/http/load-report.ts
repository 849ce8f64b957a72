import { z } from 'zod';

const JSON_PREFIX = 'JSON ';

/** The fields of an ORCA load report (xDS data.orca.v3.OrcaLoadReport) that are used. */
const loadReportSchema = z.object({
  cpu_utilization: z.number().min(0).optional(),
  application_utilization: z.number().min(0).optional(),
});

/** The utilisation in a load report header, 0 to 1 and above; undefined where it says nothing. */
export function parseLoadReport(header: string | string[] | undefined): number | undefined {
  if (typeof header !== 'string' || !header.startsWith(JSON_PREFIX)) {
    return undefined;
  }
  try {
    const report = loadReportSchema.safeParse(JSON.parse(header.slice(JSON_PREFIX.length)));
    return report.data?.application_utilization ?? report.data?.cpu_utilization;
  } catch {
    return undefined;
  }
}
