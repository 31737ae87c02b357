"""Keep the endpoint list current: a whole list, then a watch of its changes."""
