"""Choice of version and endpoint, retries and hedging."""
