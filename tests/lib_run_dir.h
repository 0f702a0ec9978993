/* Helpers of the fault and soak programs: run folders, known failures. */
#ifndef TESTS_LIB_RUN_DIR_H
#define TESTS_LIB_RUN_DIR_H

#include <stdbool.h>

/* Removes a folder and the files in it, but no subfolders. */
void run_dir_remove(const char *path);
/*
 * True if a line of KNOWN_RED begins with ENTRY. KNOWN_RED is the text of
 * KNOWN-RED.txt, or NULL.
 */
bool run_is_known_red(const char *known_red, const char *entry);

#endif
