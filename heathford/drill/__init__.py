"""The simulator's wire: decodes events into calls on the decisions and encodes what they ask for."""
