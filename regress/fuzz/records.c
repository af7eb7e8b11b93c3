#include "conf/clog.h"
#include "once/once.h"
#include "order/order.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Any bytes as records of the platform's log: somebody else may write to it too. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void fuzz_append(void *ctx, const char *record)
{
	(void)ctx;
	(void)record;
}

static void fuzz_read(void *ctx, int64_t from)
{
	(void)ctx;
	(void)from;
}

static void fuzz_answer(void *ctx, struct once_asker asker, enum once_verdict verdict,
			const struct once_claim *winner)
{
	(void)ctx;
	(void)asker;
	(void)verdict;
	(void)winner;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const struct once_ops ops = {fuzz_append, fuzz_read, fuzz_answer};
	struct once_settings settings = {1, 1000};
	struct str record = str_make((const char *)data, len);
	struct clog_verdict verdict;
	struct order order;
	struct once once;
	struct clog clog;

	clog_init(&clog);
	clog_on_record(&clog, 0, record, &verdict);
	clog_on_end(&clog);
	clog_on_record(&clog, 1, record, &verdict);
	clog_on_peer_state(&clog, record);
	clog_finish(&clog);
	once_init(&once, &settings, &ops, NULL);
	once_on_record(&once, 0, record, 0);
	once_on_tick(&once, 2000);
	once_finish(&once);
	order_init(&order, "h", 1000);
	order_on_record(&order, 0, record, 0);
	order_finish(&order);
	return 0;
}
