"""Choice of the model that answers a request, by the load of the engines."""
