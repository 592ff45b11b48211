/** Renders the metrics of this host. */
export default interface MetricsSource {
  /** Prometheus text exposition format. */
  renderMetrics(): Promise<string>;
}
