"""Claims, session pins and outcomes kept in partitions of the log."""
