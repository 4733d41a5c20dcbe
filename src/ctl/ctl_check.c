#include "ctl/ctl_check.h"

#include <errno.h>
#include <string.h>
#include <sysexits.h>

#include "dialect/dl.h"
#include "kernel/kn_registry.h"

/* The dialect of the operator's file. */
#define CTL_DIALECT "fleet"

static const struct fd_rule ctl_too_large = {
	"too_large", FD_ERROR, "check the configuration, not another file"
};
static const struct fd_rule ctl_bad_against = {
	"bad_against", FD_ERROR, "give the configuration that is in force"
};

/** struct ctl_checked - a configuration; @catalog is NULL if unusable. */
struct ctl_checked {
	struct ca_catalog *catalog;
	struct fd_list findings;
};

/* Reads one byte more than allowed, so that larger files are noticed. */
static GString *ctl_read_config(const char *path, FILE *err)
{
	GString *text = g_string_sized_new(1u << 16);
	FILE *file = fopen(path, "re");
	char chunk[1u << 14];
	size_t bytes;
	bool is_read;

	while (file && text->len <= CTL_MAX_CONFIG_BYTES &&
	       (bytes = fread(chunk, 1, sizeof(chunk), file)))
		g_string_append_len(text, chunk, (gssize)bytes);
	is_read = file && !ferror(file);
	if (!is_read)
		fprintf(err, "balsampin ctl check: %s: %s\n", path,
			strerror(errno));
	if (file)
		fclose(file);
	if (is_read)
		return text;
	g_string_free(text, TRUE);
	return NULL;
}

/* Returns false if the file cannot be read. */
static bool ctl_decode_file(const struct dl_dialect *dialect, const char *path,
			    struct ctl_checked *checked, FILE *err)
{
	GString *text = ctl_read_config(path, err);

	checked->catalog = NULL;
	fd_init(&checked->findings);
	if (!text)
		return false;
	if (text->len > CTL_MAX_CONFIG_BYTES)
		fd_report(&checked->findings, "/", &ctl_too_large,
			  "is larger than %u bytes", CTL_MAX_CONFIG_BYTES);
	else
		checked->catalog = dialect->decode_config(text->str, text->len,
							  &checked->findings);
	g_string_free(text, TRUE);
	return true;
}

static void ctl_checked_finish(struct ctl_checked *checked)
{
	ca_catalog_unref(checked->catalog);
	fd_finish(&checked->findings);
}

static GPtrArray *ctl_compare(const struct dl_dialect *dialect,
			      const struct ctl_checked *before,
			      struct ctl_checked *after)
{
	if (!before->catalog) {
		fd_report(&after->findings, "/", &ctl_bad_against,
			  "the version to compare with cannot be used: %s",
			  before->findings.items[0].message);
		return NULL;
	}
	if (!after->catalog)
		return NULL;
	cv_check_change(before->catalog, after->catalog, &after->findings);
	return cv_diff(before->catalog, after->catalog, dialect->config_fields);
}

int ctl_check_exit_code(const struct fd_list *findings)
{
	if (findings->totals[FD_ERROR])
		return CTL_CHECK_ERRORS;
	return findings->totals[FD_WARNING] ? CTL_CHECK_WARNINGS
					    : CTL_CHECK_CLEAN;
}

static int ctl_check_decoded(const struct ctl_check_desc *desc,
			     const struct dl_dialect *dialect,
			     const struct ctl_checked *before,
			     struct ctl_checked *after)
{
	struct ctl_report report = { .file = desc->file,
				     .against = desc->against,
				     .findings = &after->findings };
	GPtrArray *changes = NULL;

	if (after->catalog) {
		report.version = after->catalog->version;
		cv_check(after->catalog, dialect->config_fields,
			 &(struct cv_host){ .memory_mb = CV_MEMORY_MB },
			 &after->findings);
	}
	if (before)
		changes = ctl_compare(dialect, before, after);
	report.changes = changes;
	report.exit_code = ctl_check_exit_code(&after->findings);
	if (desc->is_json)
		ctl_report_json(&report, desc->out);
	else
		ctl_report_text(&report, desc->out);
	if (changes)
		g_ptr_array_unref(changes);
	return report.exit_code;
}

int ctl_check(const struct ctl_check_desc *desc)
{
	const struct dl_dialect *dialect =
		kn_plugin_find("dialect", CTL_DIALECT);
	struct ctl_checked before = { 0 }, after = { 0 };
	int exit_code = EX_NOINPUT;

	if (!dialect) {
		fprintf(desc->err, "balsampin ctl check: no dialect %s\n",
			CTL_DIALECT);
		return EX_SOFTWARE;
	}
	if (ctl_decode_file(dialect, desc->file, &after, desc->err) &&
	    (!desc->against ||
	     ctl_decode_file(dialect, desc->against, &before, desc->err)))
		exit_code = ctl_check_decoded(
			desc, dialect, desc->against ? &before : NULL, &after);
	ctl_checked_finish(&before);
	ctl_checked_finish(&after);
	return exit_code;
}
