/** Configurations in the form of PROTOCOL.md, with the limits of skovlund-qc. */

export function service(name) {
  return {
    name,
    health_path: '/health',
    maximum_connections: 390,
    protocol: 'h1',
    tls: false,
    cold_start: '3s',
    cold_per_s: 9,
  };
}

export function route(fields) {
  return {
    priority: 1,
    maximum_attempts: 2,
    session_affinity: false,
    home_regions: [],
    target_latency: '400ms',
    ...fields,
  };
}

export function configuration(version, routes, services) {
  return {
    version,
    routes,
    services,
    limits: {
      maximum_header_bytes: 16384,
      maximum_body_bytes: 67108864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
  };
}
