"""Result folders: figures (JSON), events (JSON lines) and one HTML page with plots as inline SVG."""
