"""Building blocks: messages, decisions, tasks, outcomes and error codes."""
