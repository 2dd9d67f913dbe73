"""The callers' library: entry points, streams, resumes and repeats."""
