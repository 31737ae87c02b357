"""The published completions API over HTTP/1.1: complete answers, or streams of server-sent events."""
