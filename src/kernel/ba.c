#include "kernel/ba.h"

#include <malloc.h>
#include <string.h>

/* What malloc() keeps beside each block. */
#define BA_BLOCK_BYTES 16
#define BA_PAGE_BYTES  4096

void ba_init(struct ba_account *account, uint64_t budget_bytes)
{
	memset(account, 0, sizeof(*account));
	account->budget_bytes = budget_bytes;
}

bool ba_fits_kind(const struct ba_account *account, enum ba_kind kind,
		  uint64_t bytes)
{
	return !account->kind_bytes[kind] ||
	       account->_held_bytes[kind] + bytes <= account->kind_bytes[kind];
}

bool ba_fits(const struct ba_account *account, enum ba_kind kind,
	     uint64_t bytes)
{
	return ba_fits_kind(account, kind, bytes) &&
	       (!account->budget_bytes ||
		account->_total_bytes + bytes <= account->budget_bytes);
}

void ba_charge(struct ba_account *account, enum ba_kind kind, int64_t bytes)
{
	account->_held_bytes[kind] += bytes;
	account->_total_bytes += bytes;
}

uint64_t ba_text_bytes(const GString *text)
{
	uint64_t bytes = malloc_usable_size(text->str);

	if (bytes >= BA_MAPPED_BYTES)
		bytes = MIN(bytes, text->len + BA_PAGE_BYTES);
	return bytes + BA_BLOCK_BYTES;
}
