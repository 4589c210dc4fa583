"""Following the configuration stream and exchanging it with peers."""
