/*
 * ctl_check - `balsampin ctl check`: a configuration before it is sent.
 *
 * Overview
 *	Decodes the file with the dialect that hosts use, so that each part
 *	that a host would refuse or ignore is an error here, and adds the rules
 *	of src/catalog/cv.h. Offline: asks no host and no store.
 *
 * Use
 *	exit_code = ctl_check(&(struct ctl_check_desc){
 *		.file = "new.json", .out = stdout, .err = stderr });
 */
#ifndef CTL_CHECK_H
#define CTL_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "catalog/cv.h"

#define CTL_MAX_CONFIG_BYTES (8u << 20)

/* Exit codes of the check; otherwise those of sysexits.h. */
#define CTL_CHECK_CLEAN	   0
#define CTL_CHECK_WARNINGS 1
#define CTL_CHECK_ERRORS   2

/**
 * struct ctl_check_desc - what to check.
 * @against: file with the version in force; NULL for none.
 * @is_json: print JSON.
 * @out: gets the result.
 * @err: gets the reason if a file cannot be read.
 */
struct ctl_check_desc {
	const char *file;
	const char *against;
	bool is_json;
	FILE *out;
	FILE *err;
};

/**
 * struct ctl_report - result of a check.
 * @version: 0 if the file has none that can be used.
 * @changes: of struct cv_change; NULL without a version to compare with.
 */
struct ctl_report {
	const char *file;
	const char *against;
	uint64_t version;
	const struct fd_list *findings;
	const GPtrArray *changes;
	int exit_code;
};

/**
 * ctl_check() - check a file and print the result.
 *
 * Return: CTL_CHECK_*, or EX_NOINPUT if a file cannot be read.
 */
int ctl_check(const struct ctl_check_desc *desc);

/** ctl_check_exit_code() - exit code for findings: CTL_CHECK_*. */
int ctl_check_exit_code(const struct fd_list *findings);

/* ctl_report.c */
void ctl_report_text(const struct ctl_report *report, FILE *out);
void ctl_report_json(const struct ctl_report *report, FILE *out);

#endif
