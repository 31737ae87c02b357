"""Puts one front's parts together and runs them as a process."""
