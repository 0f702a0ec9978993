/* What the tools that play on real processes share: folders, known failures. */
#ifndef TESTS_LIB_RUN_DIR_H
#define TESTS_LIB_RUN_DIR_H

#include <stdbool.h>

/* Removes a folder and the files in it. */
void run_dir_remove(const char *path);
/* True when a line of the text of KNOWN-RED.txt, or NULL, begins so. */
bool run_is_known_red(const char *known_red, const char *entry);

#endif
