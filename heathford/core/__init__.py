"""Runs one router: applies events in turns of the event loop and carries out the router's decisions."""
