#include "tests/lib_run_dir.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

void run_dir_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

bool run_is_known_red(const char *known_red, const char *entry)
{
	const char *at = known_red ? strstr(known_red, entry) : NULL;

	return at && (at == known_red || at[-1] == '\n');
}
