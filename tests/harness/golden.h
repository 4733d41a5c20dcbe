/*
 * golden - sessions compared as text with a file.
 *
 * Overview
 *	The session is normalized first: addresses, ports, times and generated
 *	ids become names that do not depend on the run. BALSAMPIN_RENEW=1 in
 *	the environment writes the files anew; `git diff` shows the change:
 *
 *	BALSAMPIN_RENEW=1 ctest --test-dir build -L session
 */
#ifndef HARNESS_GOLDEN_H
#define HARNESS_GOLDEN_H

#include <string>

namespace harness
{

/** normalize() - replace what differs from run to run. */
std::string normalize(const std::string &text);

/** expect_golden() - a gtest failure if the file NAME.txt differs. */
void expect_golden(const std::string &name, const std::string &session);

} // namespace harness

#endif
