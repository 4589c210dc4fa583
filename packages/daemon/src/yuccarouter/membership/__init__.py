"""Fleet membership: the state of VMs and endpoints and its exchange."""
