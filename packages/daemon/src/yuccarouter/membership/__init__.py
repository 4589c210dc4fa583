"""Which VMs and endpoints are live, leaving or cold."""
