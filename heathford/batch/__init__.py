"""Batch processing of requests that no user waits for: the published files and batches API."""
