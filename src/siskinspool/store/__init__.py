"""The platform's services: key-value service and instance list."""
