"""The command line: `badgeryoke serve | check | lab | demo`, built on click.

Exit codes, the same for every command: 0 success; 1 completed, but a figure is bad (a ceiling or the stated error
was exceeded); 2 invalid input (a file, a key or an argument); 3 a dependency is not installed; 4 execution failed
(for example, a gateway did not start); 130 interrupted.
"""
