/* Objects of the configuration: any JSON text is accepted or a finding. */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "config/cm.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static const char *const kinds[] = { "team", "model", "route",
					     "service" };
	struct cm_config config;
	struct fd_list findings;
	char *text;

	if (!bytes)
		return 0;
	text = g_strndup((const char *)data + 1, bytes - 1);
	cm_init(&config);
	fd_init(&findings);
	cm_apply(&config,
		 &(struct cm_delta){ .revision = 1,
				     .objects =
					     &(struct cm_object){
						     .kind = kinds[data[0] % 4],
						     .name = "n",
						     .json = text,
						     .revision = 1 },
				     .count = 1 },
		 &findings);
	fd_finish(&findings);
	cm_finish(&config);
	g_free(text);
	return 0;
}
