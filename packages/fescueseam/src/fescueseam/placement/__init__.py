"""Place new flows on backend servers."""
