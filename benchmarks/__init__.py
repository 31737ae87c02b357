"""Measurements kept out of CI; each prints what it saw."""
