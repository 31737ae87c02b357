"""Parsers and encoders of published protocols, without I/O: HTTP/1.1 and server-sent events."""
