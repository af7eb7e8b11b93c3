#include "base/err.h"
#include "base/frm.h"
#include "msg/conf.pb-c.h"
#include "msg/join.pb-c.h"
#include "msg/once.pb-c.h"
#include "msg/pool.pb-c.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/*
 * Parses arbitrary bytes as a sequence of frames. Checks that each frame's body lies within the
 * input, and that any body is either decoded or rejected without a memory error.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static const ProtobufCMessageDescriptor *const fuzz_messages[] = {
	&pool__ask__descriptor,	    &pool__grant__descriptor, &pool__done__descriptor,
	&pool__holding__descriptor, &once__claim__descriptor, &once__verdict__descriptor,
	&join__answer__descriptor,  &conf__state__descriptor, &conf__hosts__descriptor,
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	size_t at = 0;

	for (;;) {
		uint16_t kind = 0;
		const uint8_t *body = NULL;
		size_t body_len = 0;
		int used = frm_parse(data + at, len - at, &kind, &body, &body_len);
		ProtobufCMessage *msg;

		if (used <= 0)
			return 0;
		if (body < data || body + body_len > data + len)
			abort();
		msg = protobuf_c_message_unpack(fuzz_messages[kind % G_N_ELEMENTS(fuzz_messages)],
						NULL, body_len, body);
		if (msg)
			protobuf_c_message_free_unpacked(msg, NULL);
		at += (size_t)used;
	}
}
