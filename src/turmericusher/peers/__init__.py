"""The exchange between entry instances over gRPC."""
