#include <inttypes.h>
#include <json-c/json.h>

#include "ctl/ctl_check.h"

/*
 * Names come from the operator's file and may hold any bytes. Control
 * characters must not reach a terminal.
 */
static char *ctl_printable(const char *text)
{
	char *valid = g_utf8_make_valid(text ? text : "", -1);

	for (char *c = valid; *c; c++)
		if (g_ascii_iscntrl(*c))
			*c = '?';
	return valid;
}

static void ctl_text_finding(const struct fd_finding *f, FILE *out)
{
	g_autofree char *message = ctl_printable(f->message);

	fprintf(out, "%s: %s: %s [%s]\n\tremedy: %s\n", f->place,
		fd_severity_name(f->rule->severity), message, f->rule->name,
		f->rule->remedy);
}

static void ctl_text_change(const struct cv_change *change, FILE *out)
{
	g_autofree char *name = ctl_printable(change->name);
	g_autofree char *before = ctl_printable(change->before);
	g_autofree char *after = ctl_printable(change->after);

	fprintf(out, "%s %s%s%s%s", change->takes_away ? "-" : " ",
		cv_subject_name(change->subject), *name ? " " : "", name,
		change->field ? " " : "");
	fprintf(out, "%s: ", change->field ? change->field : "");
	if (!change->before)
		fprintf(out, "added: %s\n", after);
	else if (!change->after)
		fprintf(out, "removed: %s\n", before);
	else
		fprintf(out, "%s -> %s\n", before, after);
}

static void ctl_text_changes(const struct ctl_report *report, FILE *out)
{
	fprintf(out, "changes from %s (- takes something away): %u\n",
		report->against, report->changes->len);
	for (uint32_t i = 0; i < report->changes->len; i++)
		ctl_text_change(report->changes->pdata[i], out);
}

void ctl_report_text(const struct ctl_report *report, FILE *out)
{
	const struct fd_list *findings = report->findings;

	for (uint32_t i = 0; i < findings->count; i++)
		ctl_text_finding(&findings->items[i], out);
	if (findings->left_out)
		fprintf(out, "%u more findings omitted\n", findings->left_out);
	if (report->changes)
		ctl_text_changes(report, out);
	fprintf(out,
		"%s: version %" PRIu64 ": %u errors, %u warnings, %u notes\n",
		report->file, report->version, findings->totals[FD_ERROR],
		findings->totals[FD_WARNING], findings->totals[FD_NOTE]);
}

static void ctl_json_text(struct json_object *to, const char *name,
			  const char *text)
{
	g_autofree char *valid = text ? g_utf8_make_valid(text, -1) : NULL;

	json_object_object_add(to, name,
			       valid ? json_object_new_string(valid) : NULL);
}

static struct json_object *ctl_json_finding(const struct fd_finding *f)
{
	struct json_object *json = json_object_new_object();

	ctl_json_text(json, "place", f->place);
	ctl_json_text(json, "severity", fd_severity_name(f->rule->severity));
	ctl_json_text(json, "rule", f->rule->name);
	ctl_json_text(json, "reason", f->message);
	ctl_json_text(json, "remedy", f->rule->remedy);
	return json;
}

static struct json_object *ctl_json_change(const struct cv_change *change)
{
	struct json_object *json = json_object_new_object();

	ctl_json_text(json, "subject", cv_subject_name(change->subject));
	ctl_json_text(json, "name", change->name);
	ctl_json_text(json, "member", change->field);
	ctl_json_text(json, "before", change->before);
	ctl_json_text(json, "after", change->after);
	json_object_object_add(json, "takes_away",
			       json_object_new_boolean(change->takes_away));
	return json;
}

static struct json_object *ctl_json_totals(const struct fd_list *findings)
{
	struct json_object *json = json_object_new_object();

	for (uint32_t i = 0; i < FD_SEVERITY_COUNT; i++)
		json_object_object_add(
			json, fd_severity_name(i),
			json_object_new_int64(findings->totals[i]));
	return json;
}

void ctl_report_json(const struct ctl_report *report, FILE *out)
{
	const struct fd_list *findings = report->findings;
	struct json_object *json = json_object_new_object();
	struct json_object *list = json_object_new_array();

	ctl_json_text(json, "file", report->file);
	json_object_object_add(json, "version",
			       json_object_new_uint64(report->version));
	json_object_object_add(json, "exit_code",
			       json_object_new_int(report->exit_code));
	json_object_object_add(json, "totals", ctl_json_totals(findings));
	json_object_object_add(json, "omitted",
			       json_object_new_int64(findings->left_out));
	for (uint32_t i = 0; i < findings->count; i++)
		json_object_array_add(list,
				      ctl_json_finding(&findings->items[i]));
	json_object_object_add(json, "findings", list);
	if (report->changes) {
		list = json_object_new_array();
		for (uint32_t i = 0; i < report->changes->len; i++)
			json_object_array_add(
				list,
				ctl_json_change(report->changes->pdata[i]));
		json_object_object_add(json, "changes", list);
	}
	fprintf(out, "%s\n",
		json_object_to_json_string_ext(
			json, JSON_C_TO_STRING_PRETTY |
				      JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
}
