"""The gateway, which forwards calls directly to endpoints without agents."""
