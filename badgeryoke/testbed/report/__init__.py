"""Results of runs: figures (JSON), events (JSON lines) and an HTML page with plots as inline SVG."""
