"""The admin address: operators send one line and get one answer."""
