"""Claims, session pins and outcomes, kept in partitioned log streams."""
