/*
 * The platform's configuration and its check: any text is decoded or refused
 * with an error, a configuration does not differ from itself, and the report
 * is printed whatever names it contains.
 */
#include <stdio.h>
#include <stdlib.h>

#include "ctl/ctl_check.h"
#include "dialect/dl.h"
#include "kernel/kn_registry.h"

static void print(const struct ctl_report *report)
{
	char *text = NULL;
	size_t bytes;
	FILE *out = open_memstream(&text, &bytes);

	ctl_report_text(report, out);
	ctl_report_json(report, out);
	fclose(out);
	if (!g_utf8_validate(text, (gssize)bytes, NULL))
		abort();
	free(text);
}

static void check(const struct dl_dialect *d, struct ca_catalog *c,
		  struct fd_list *findings)
{
	struct cv_host host = { .memory_mb = CV_MEMORY_MB };
	struct ca_catalog *none = ca_catalog_new(0);
	GPtrArray *changes;

	cv_check(c, d->config_fields, &host, findings);
	changes = cv_diff(c, c, d->config_fields);
	if (changes->len)
		abort();
	g_ptr_array_unref(changes);
	cv_check_change(none, c, findings);
	changes = cv_diff(none, c, d->config_fields);
	print(&(struct ctl_report){ .file = "new",
				    .against = "old",
				    .version = c->version,
				    .findings = findings,
				    .changes = changes });
	g_ptr_array_unref(changes);
	ca_catalog_unref(none);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct dl_dialect *d = kn_plugin_find("dialect", "fleet");
	char *text = g_strndup((const char *)data, size);
	struct ca_catalog *catalog;
	struct fd_list findings;

	fd_init(&findings);
	catalog = d->decode_config(text, size, &findings);
	if (catalog)
		check(d, catalog, &findings);
	else if (!findings.totals[FD_ERROR])
		abort();
	ca_catalog_unref(catalog);
	fd_finish(&findings);
	g_free(text);
	return 0;
}
