"""The admin server: operators send a one-line call and get one answer."""
