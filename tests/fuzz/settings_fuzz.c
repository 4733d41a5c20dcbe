/* Settings files: no text crashes the parser. */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "settings/cf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	char *text = g_strndup((const char *)data, bytes);
	struct cf_settings settings;
	struct fd_list findings;

	cf_parse(&settings, text, &findings);
	fd_finish(&findings);
	cf_finish(&settings);
	g_free(text);
	return 0;
}
