"""The memory of an engine for the weights of models and adapters.

An engine that is ordered to load more than its memory holds crashes, so each load is
checked against the sizes that the configuration states. Where it states none, only the
places for adapters bound the loads.
"""

from collections.abc import Collection, Mapping

from damaskvalve_core.messages import EngineLimits

# Sizes are decimal fractions, whose sum may exceed the memory by a rounding error.
ROUNDING_MB = 1e-6


class ModelSize:
    """What a model, and each of its adapters, takes of the memory."""

    __slots__ = ("weights_mb", "adapter_mb")

    def __init__(self, weights_mb: float, adapter_mb: float) -> None:
        self.weights_mb = weights_mb
        self.adapter_mb = adapter_mb


class WeightMemory:
    """The memory of an engine and the sizes of what it may hold."""

    __slots__ = ("capacity_mb", "_sizes")

    def __init__(self, capacity_mb: float, sizes: Mapping[str, ModelSize]) -> None:
        self.capacity_mb = capacity_mb
        self._sizes = sizes

    def used_mb(self, models: Collection[str], adapters: Collection[str]) -> float:
        """Return what models, and adapters named ``model/adapter``, take together."""
        of_models = (self._size(model).weights_mb for model in models)
        of_adapters = (
            self._size(name.partition("/")[0]).adapter_mb for name in adapters
        )
        return sum(of_models) + sum(of_adapters)

    def fits(
        self, models: Collection[str], adapters: Collection[str], reserved: int = 0
    ) -> bool:
        """Return whether all of them fit, and a number of adapters of any model too."""
        used_mb = self.used_mb(models, adapters) + reserved * self._largest_adapter_mb()
        return used_mb <= self.limit_mb()

    def limit_mb(self) -> float:
        """Return what may be used, with room for rounding errors of the sizes."""
        return self.capacity_mb + ROUNDING_MB

    def _size(self, model: str) -> ModelSize:
        return self._sizes.get(model, _UNKNOWN_SIZE)

    def _largest_adapter_mb(self) -> float:
        return max((size.adapter_mb for size in self._sizes.values()), default=0.0)


_UNKNOWN_SIZE = ModelSize(0.0, 0.0)
UNBOUNDED = WeightMemory(float("inf"), {})


def read_weight_memory(limits: EngineLimits) -> WeightMemory:
    """Return the memory that a host states; unbounded if it states none."""
    if limits.weights_mb is None:
        return UNBOUNDED
    sizes = {
        size.model: ModelSize(size.weights_mb or 0.0, size.adapter_mb or 0.0)
        for size in limits.model_sizes or ()
    }
    return WeightMemory(limits.weights_mb, sizes)


__all__ = [
    "UNBOUNDED",
    "ModelSize",
    "WeightMemory",
    "read_weight_memory",
]
