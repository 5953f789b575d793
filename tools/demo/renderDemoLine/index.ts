import type { DemoReport } from '../types';

/** Renders the demo's last line. */
export function renderDemoLine(report: DemoReport): string {
  const verdict = report.ok ? 'ok' : 'failed';
  const { tokens, missing, repeated, mixed, resumes } = report;
  const faults = mixed > 0 ? ` mixed=${mixed}` : '';
  return (
    `demo: ${verdict} tokens=${tokens} missing=${missing} repeated=${repeated}${faults} ` +
    `resumes=${resumes} resume_ms=${Math.round(report.resumeMs)}`
  );
}
