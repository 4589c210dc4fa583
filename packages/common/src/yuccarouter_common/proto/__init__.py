"""Generated protobuf and gRPC code."""
