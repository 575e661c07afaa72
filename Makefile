# Every target installs what is missing and builds first.
BUILD = build

.PHONY: all deps build demo test bench check asan proto format

all: build

deps:
	@tools/install-deps

$(BUILD)/build.ninja: | deps
	meson setup $(BUILD)

build: deps $(BUILD)/build.ninja
	@ninja -C $(BUILD)

test: build
	@tools/run-tests $(BUILD)

demo: build
	@$(BUILD)/tests/demo

bench: build
	@tools/run-bench $(BUILD)

check: build
	@tools/run-checks $(BUILD)

asan: deps
	@test -f $(BUILD)-asan/build.ninja || meson setup $(BUILD)-asan \
		-Db_sanitize=address,undefined -Db_lundef=false
	@ninja -C $(BUILD)-asan
	@CK_FORK=no tools/run-tests $(BUILD)-asan

proto:
	@tools/gen-proto

format:
	@git ls-files '*.c' '*.h' | grep -v pb-c | xargs clang-format -i
