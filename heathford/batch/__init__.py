"""Work by the thousand that nobody waits for at a screen: files and batches, by the published API."""
