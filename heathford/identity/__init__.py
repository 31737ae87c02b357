"""Recognize repeated requests by their idempotency key, share their answers, and count requests."""
