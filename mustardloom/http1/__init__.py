"""HTTP/1.1 on tornado streams, parsed by httptools (llhttp)."""
