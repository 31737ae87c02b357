"""The link to engines: HTTP/1.1 and server-sent events; each attempt ends with one `Outcome`."""
