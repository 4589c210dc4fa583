"""The yuccarouter daemon, with the roles entry and agent."""
