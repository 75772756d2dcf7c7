"""The numbered configuration: parsed, checked and kept in force."""
