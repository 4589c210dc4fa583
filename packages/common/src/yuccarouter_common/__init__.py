"""Code shared by the processes of yuccarouter."""
