"""The Starlark scripts of the operators: what they declare is checked whole before anything starts."""
