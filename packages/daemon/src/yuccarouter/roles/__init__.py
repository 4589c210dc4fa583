"""The two roles of the daemon, each a tree of supervised services."""
