"""The entry that forwards calls straight to endpoints, without agents."""
